/** Settings of the planner. */

/** Weights of one service and bounds of the planner. */
export interface PlacementSettings {
  /** Worth of evening out load; from the service's configuration. */
  readonly imbalanceWeight: number;
  /** Cost of a moved key; from the service's configuration. */
  readonly churnWeight: number;
  /** Slices of each server at the start. */
  readonly slicesPerServer: number;
  /** Cold slices are merged down to this many for each server. */
  readonly minSlicesPerServer: number;
  /** Hot slices are split up to this many for each server. */
  readonly maxSlicesPerServer: number;
  /**
   * Price of moving one average server's keys, against the gain of evening
   * out one average server's load. With equal weights it is about the gap
   * between two servers' loads that is left alone.
   */
  readonly keyMoveCost: number;
  /** The same for the requests that meet the gap of a move. */
  readonly gapCost: number;
  /** A slice hotter than this part of an average server's load is split. */
  readonly splitShare: number;
  /** Two neighbours colder than this together are merged. */
  readonly mergeShare: number;
  /** Part of a slice's weight that comes from its width, not its load. */
  readonly widthWeight: number;
  /** Planned moves in one plan, for each server; at least two in all. */
  readonly movesPerServer: number;
  /** Splits and merges in one plan, for each server; at least eight each. */
  readonly reshardsPerServer: number;
  /** A slice that was changed is left alone for this long. */
  readonly cooldownMs: number;
  /** A new server gets its full share after this long. */
  readonly warmUpMs: number;
  /** Below this rate, load is left as it lies and width alone counts. */
  readonly minRequestsPerSecond: number;
  /** Time that measured rates stand for: half-life by ln 2. */
  readonly loadWindowMs: number;
  /** A planner that has just started only plans losses for this long. */
  readonly startupDelayMs: number;
  /** A server's speed counts only beyond this difference from the median. */
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
