/** Load at one server, of one VM or summed over all VMs. */
export interface ServerLoad {
  /** Requests that run or hold a reservation. */
  readonly running: number;
  /** KV cache tokens of these requests, including their answers. */
  readonly kvTokens: number;
  /** Prompt tokens that wait for prefill or are being prefilled. */
  readonly prefillTokens: number;
}

/** Loads of one VM by server id. */
export type VmLoads = ReadonlyMap<string, ServerLoad>;

const NO_LOAD: ServerLoad = { running: 0, kvTokens: 0, prefillTokens: 0 };

/** Sums the load of all VMs at each server: this VM's is exact, the others' comes from their digests. */
export class ServerLoads {
  private readonly own = new Map<string, ServerLoad>();

  private readonly others = new Map<string, VmLoads>();

  /**
   * Creates an empty tracker.
   *
   * @returns loads of an idle fleet
   */
  static create(): ServerLoads {
    return new ServerLoads();
  }

  /**
   * Adds load of this VM.
   *
   * @param server - id of the server
   * @param load - load to add
   * @returns a function that removes the load again; only its first call has an effect
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
   * Replaces the loads of another VM.
   *
   * @param vm - name of the VM
   * @param loads - its loads by server id
   */
  update(vm: string, loads: VmLoads): void {
    this.others.set(vm, loads);
  }

  /**
   * Removes a VM that has left the fleet.
   *
   * @param vm - name of the VM
   */
  removeVm(vm: string): void {
    this.others.delete(vm);
  }

  /**
   * Sums the load at a server.
   *
   * @param server - id of the server
   * @returns the load of all VMs
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
   * Sums the slots of several servers and the requests at them.
   *
   * @param servers - the servers
   * @returns total slots, and running requests of all VMs
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

  /** Loads of this VM, for its digest. */
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
