// Loaded into a program by `--import`: lets a scenario end its process by an error that no code expects.
process.on('SIGUSR2', () => {
  throw new Error('thrown by a scenario');
});
process.on('SIGALRM', () => {
  void Promise.reject(new Error('rejected by a scenario'));
});
