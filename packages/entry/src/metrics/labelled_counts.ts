/** Counts by labels, kept until the metrics library is loaded. */

/** Labels of a count; all counts of one instance have the same label names. */
export type CountLabels = Readonly<Record<string, string>>;

interface LabelledCount {
  readonly labels: CountLabels;
  count: number;
}

/** Counts since the last drain. */
export class LabelledCounts {
  readonly #counts = new Map<string, LabelledCount>();

  /** Adds to the count of these labels. */
  add(count: number, labels: CountLabels): void {
    const name = Object.values(labels).join("\n");
    const known = this.#counts.get(name);
    if (known !== undefined) known.count += count;
    else this.#counts.set(name, { labels, count });
  }

  /** Passes all counts to a callback and resets them. */
  drain(take: (count: number, labels: CountLabels) => void): void {
    for (const { count, labels } of this.#counts.values()) take(count, labels);
    this.#counts.clear();
  }
}
