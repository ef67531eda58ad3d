/** Settings of the placement planner. */

/** Weights of one service, and limits of the planner. */
export interface PlacementSettings {
  /** Weight of load imbalance; from the service's configuration. */
  readonly imbalanceWeight: number;
  /** Weight of moved keys; from the service's configuration. */
  readonly churnWeight: number;
  /** Slices per server in the initial assignment. */
  readonly slicesPerServer: number;
  /** Cold slices are merged down to this many per server. */
  readonly minSlicesPerServer: number;
  /** Hot slices are split up to this many per server. */
  readonly maxSlicesPerServer: number;
  /**
   * Cost of moving all keys of an average server, relative to the gain of
   * balancing an average server's load. With equal weights it is about the
   * difference between two servers' loads that is tolerated.
   */
  readonly keyMoveCost: number;
  /** The same for requests that arrive while a moved key has no owner. */
  readonly gapCost: number;
  /**
   * A slice with more than this fraction of an average server's load is split.
   */
  readonly splitShare: number;
  /** Two adjacent slices with less than this together are merged. */
  readonly mergeShare: number;
  /**
   * Fraction of a slice's weight that comes from its width instead of its load.
   */
  readonly widthWeight: number;
  /** Rebalancing moves in one plan, per server; at least 2 in all. */
  readonly movesPerServer: number;
  /** Splits in one plan, per server, and as many merges; at least 8 of each. */
  readonly reshardsPerServer: number;
  /** A slice is not changed again for this long. */
  readonly cooldownMs: number;
  /** A new server has its full capacity after this long. */
  readonly warmUpMs: number;
  /**
   * Below this rate nothing is rebalanced, and only the width of a slice
   * counts.
   */
  readonly minRequestsPerSecond: number;
  /** Window of the measured rates: half-life divided by ln 2. */
  readonly loadWindowMs: number;
  /** For this long after its start a planner only plans evacuations. */
  readonly startupDelayMs: number;
  /** Smaller differences of a server's speed from the median are ignored. */
  readonly speedTolerance: number;
}

/** Defaults of {@link PlacementSettings}. */
export const DEFAULT_PLACEMENT: PlacementSettings = {
  imbalanceWeight: 1,
  churnWeight: 1,
  slicesPerServer: 16,
  minSlicesPerServer: 12,
  maxSlicesPerServer: 48,
  keyMoveCost: 0.15,
  gapCost: 0.02,
  splitShare: 0.15,
  mergeShare: 0.06,
  widthWeight: 0.1,
  movesPerServer: 0.05,
  reshardsPerServer: 0.1,
  cooldownMs: 60_000,
  warmUpMs: 30_000,
  minRequestsPerSecond: 5,
  loadWindowMs: 21_600,
  startupDelayMs: 10_000,
  speedTolerance: 0.25,
};
