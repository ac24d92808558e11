/* eslint n/no-sync: "off" */
/* eslint-disable */
// A proxy as a process of its own: it stands for the link and the machine of a server. While it is
// stopped (SIGSTOP), its connections are silent and new ones hang.
// node wire.mjs HOST LISTEN_PORT TARGET_PORT
import { connect, createServer } from 'node:net';

const [host, listenPort, targetPort] = process.argv.slice(2);
const server = createServer((outer) => {
  const inner = connect(Number(targetPort), host);
  const end = () => {
    outer.resetAndDestroy();
    inner.resetAndDestroy();
  };
  outer.on('error', end).on('close', end).pipe(inner);
  inner.on('error', end).on('close', end).pipe(outer);
});
server.listen({ port: Number(listenPort), host, backlog: 1 }, () => {
  console.log(server.address().port);
});
