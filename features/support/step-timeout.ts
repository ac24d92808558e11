import { setDefaultTimeout } from '@cucumber/cucumber';

// Steps start processes and wait for conditions with deadlines of their own, which explain more.
setDefaultTimeout(30_000);
