import { Channel } from './channel.js';

/**
 * Owns state and sockets that no other code touches; others send it messages, which it handles one
 * at a time in the order of arrival.
 */
export abstract class Task<Message> {
  private readonly mailbox = Channel.create<Message>();

  /** Starts handling messages, those that wait first. An exception in a handler stops the process. */
  run(): void {
    this.mailbox
      .stream()
      .forEach((message) => this.receive(message))
      .catch((error: unknown) => {
        process.nextTick(() => {
          throw error;
        });
      });
  }

  /**
   * Puts a message into the mailbox.
   *
   * @param message - what to handle
   */
  send(message: Message): void {
    this.mailbox.push(message);
  }

  /**
   * Sends a message that carries a reply function and waits for the reply.
   *
   * @param build - makes the message from the reply function
   * @returns the value given to the reply function
   */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message): Promise<Reply> {
    return new Promise((resolve) => {
      this.send(build(resolve));
    });
  }

  /** Ends the mailbox; later messages are dropped. */
  close(): void {
    this.mailbox.end();
  }

  /**
   * Handles one message.
   *
   * @param message - the message
   */
  protected abstract receive(message: Message): void;
}
