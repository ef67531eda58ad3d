/** The relay process of a proof, with one relayed link for each target port. */
import * as processes from "../processes/mod.ts";
import type { RelayFaults } from "../relay/tcp_relay.ts";

/** Relayed links by name, opened on first use. */
export class Relays {
  readonly #program: processes.ChildProgram;
  readonly #links = new Map<string, number>();

  private constructor(program: processes.ChildProgram) {
    this.#program = program;
  }

  /** Starts the relay process. */
  static async start(): Promise<Relays> {
    return new Relays(await processes.startStandIn("relay/relay_main", {}));
  }

  /** Local port of the named link to `targetPort`. */
  async portOf(name: string, targetPort: number): Promise<number> {
    const known = this.#links.get(name);
    if (known !== undefined) return known;
    const opened = await processes.postJson(`${this.#url}/links`, {
      targetPort,
    }) as { port: number };
    this.#links.set(name, opened.port);
    return opened.port;
  }

  /** Sets the faults of a link. Errors: throws if the link isn't open. */
  async setFaults(name: string, faults: RelayFaults): Promise<void> {
    const port = this.#links.get(name);
    if (port === undefined) throw new Error(`No link "${name}"; open it first`);
    await processes.postJson(`${this.#url}/links/${port}/faults`, faults);
  }

  async stop(): Promise<void> {
    await this.#program.stop(5000);
  }

  get #url(): string {
    return processes.originOf(this.#program.port);
  }
}
