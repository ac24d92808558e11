const MIN_FINAL_STATUS = 200;

const MAX_FINAL_STATUS = 599;

/**
 * Returns whether a status can be that of an answer. A server in trouble may send any number; a peer that
 * gets one that HTTP does not define cannot tell what it says of the request.
 *
 * @param status - status code of an answer, interim answers excepted
 * @returns false for a status that HTTP does not define for final answers
 */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_FINAL_STATUS;
}

/**
 * Returns whether a status says that a call has succeeded.
 *
 * @param status - status code of an answer
 * @returns true for the statuses from 200 to 299
 */
export function isSuccessStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status < 300;
}
