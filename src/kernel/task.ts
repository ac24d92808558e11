import { Channel } from './channel.js';

/**
 * An actor: owns state and sockets that no other code accesses, and handles the messages that are sent
 * to it one at a time in the order of arrival.
 */
export abstract class Task<Message> {
  private readonly mailbox = Channel.create<Message>();

  /** Handles messages, the queued ones first. An exception in a handler terminates the process. */
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
   * Appends a message to the mailbox.
   *
   * @param message - message to handle
   */
  send(message: Message): void {
    this.mailbox.push(message);
  }

  /**
   * Sends a message that carries a reply function and waits for the reply.
   *
   * @param build - builds the message from the reply function
   * @returns the value given to the reply function
   */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message): Promise<Reply> {
    return new Promise((resolve) => {
      this.send(build(resolve));
    });
  }

  /** Closes the mailbox; later messages are dropped. */
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
