/** Work of one VM at one server. */
export interface ServerLoad {
  /** Requests that run or hold a place. */
  readonly running: number;
  /** KV cache tokens of these requests, the answers included. */
  readonly kvTokens: number;
  /** Prompt tokens that wait for prefill or are in it. */
  readonly prefillTokens: number;
}

/** Loads of one VM by server. */
export type VmLoads = ReadonlyMap<string, ServerLoad>;

const NO_LOAD: ServerLoad = { running: 0, kvTokens: 0, prefillTokens: 0 };

/** Sums the work of all VMs at each server: this VM's exactly, the others' from their digests. */
export class ServerLoads {
  private readonly own = new Map<string, ServerLoad>();

  private readonly others = new Map<string, VmLoads>();

  /**
   * Creates an empty record.
   *
   * @returns loads of a fleet without work
   */
  static create(): ServerLoads {
    return new ServerLoads();
  }

  /**
   * Adds work of this VM.
   *
   * @param server - id of the server
   * @param load - the work
   * @returns a function that takes the work off again; later calls have no effect
   */
  add(server: string, load: Partial<ServerLoad>): () => void {
    this.adjust(server, load, 1);
    let added = true;
    return () => {
      if (added) this.adjust(server, load, -1);
      added = false;
    };
  }

  /**
   * Replaces what another VM does.
   *
   * @param vm - name of the VM
   * @param loads - its loads by server
   */
  update(vm: string, loads: VmLoads): void {
    this.others.set(vm, loads);
  }

  /**
   * Forgets a VM that has gone.
   *
   * @param vm - name of the VM
   */
  removeVm(vm: string): void {
    this.others.delete(vm);
  }

  /**
   * Sums the work at a server.
   *
   * @param server - id of the server
   * @returns the work of all VMs
   */
  totalAt(server: string): ServerLoad {
    let { running, kvTokens, prefillTokens } = this.own.get(server) ?? NO_LOAD;
    this.others.forEach((loads) => {
      const load = loads.get(server);
      if (!load) return;
      running += load.running;
      kvTokens += load.kvTokens;
      prefillTokens += load.prefillTokens;
    });
    return { running, kvTokens, prefillTokens };
  }

  /**
   * Sums the slots of servers and the requests at them.
   *
   * @param servers - the servers
   * @returns slots, and requests of all VMs
   */
  sum(servers: readonly { readonly id: string; readonly slots: number }[]): {
    readonly slots: number;
    readonly running: number;
  } {
    return {
      slots: servers.reduce((sum, { slots }) => sum + slots, 0),
      running: servers.reduce((sum, { id }) => sum + this.totalAt(id).running, 0),
    };
  }

  /** Work of this VM, for its digest. */
  get ownLoads(): VmLoads {
    return this.own;
  }

  private adjust(server: string, load: Partial<ServerLoad>, sign: 1 | -1): void {
    const { running, kvTokens, prefillTokens } = this.own.get(server) ?? NO_LOAD;
    const changed = {
      running: running + sign * (load.running ?? 0),
      kvTokens: kvTokens + sign * (load.kvTokens ?? 0),
      prefillTokens: prefillTokens + sign * (load.prefillTokens ?? 0),
    };
    const idle = changed.running === 0 && changed.kvTokens === 0 && changed.prefillTokens === 0;
    if (idle) this.own.delete(server);
    else this.own.set(server, changed);
  }
}
