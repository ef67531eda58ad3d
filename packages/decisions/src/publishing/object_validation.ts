/**
 * Check of a whole set of configuration objects. Only a set without findings
 * may be published, so that a half-made renegotiation never reaches traffic.
 */
import type * as contracts from "@guavatide/contracts";

/** What is wrong between objects; each object by itself is well formed. */
export type FindingKind =
  | "empty-set"
  | "duplicate-object"
  | "missing-place"
  | "missing-partner"
  | "missing-service"
  | "repeated-place"
  | "repeated-partner"
  | "shares-sum"
  | "several-cost-shares";

/** One reason against publishing a set. */
export interface Finding {
  readonly kind: FindingKind;
  /** The object, as `kind/name`; empty for the whole set. */
  readonly object: string;
  /** Path of the field inside the object; empty for the whole object. */
  readonly field: string;
  /** What was seen, a sentence without closing full stop. */
  readonly message: string;
  /** What to do, a sentence without closing full stop. */
  readonly remedy: string;
}

const TOTAL_PERCENT = 100;
/** Room for the rounding of sums such as 33.3 + 33.3 + 33.4. */
const PERCENT_TOLERANCE = 1e-6;

/** The name by which findings, drafts and commands call an object. */
export function objectPath(
  object: Pick<contracts.ConfigObject, "kind" | "name">,
): string {
  return `${object.kind}/${object.name}`;
}

/** Lists what stands against publishing the set; empty when nothing does. */
export function validateObjects(
  objects: readonly contracts.ConfigObject[],
): Finding[] {
  if (objects.length === 0) return [emptySet()];
  const names = new Set(objects.map(objectPath));
  return [
    ...duplicates(objects),
    ...objects.flatMap((object) => checkObject(object, names)),
    ...severalCostShares(objects),
  ];
}

function emptySet(): Finding {
  return {
    kind: "empty-set",
    object: "",
    field: "",
    message: "The set holds no object",
    remedy: "Create objects first; an empty set would end every service",
  };
}

function duplicates(objects: readonly contracts.ConfigObject[]): Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const object of objects) {
    const path = objectPath(object);
    if (seen.has(path)) {
      findings.push({
        kind: "duplicate-object",
        object: path,
        field: "name",
        message: `"${path}" stands twice in the set`,
        remedy: "Delete one of the two",
      });
    }
    seen.add(path);
  }
  return findings;
}

function checkObject(
  object: contracts.ConfigObject,
  names: ReadonlySet<string>,
): Finding[] {
  switch (object.kind) {
    case "service":
      return checkService(object, names);
    case "cost-share":
      return checkCostShare(object, names);
    case "place":
    case "partner":
      return [];
  }
}

function checkService(
  service: contracts.Service,
  names: ReadonlySet<string>,
): Finding[] {
  const object = objectPath(service);
  const findings: Finding[] = [];
  if (!names.has(`partner/${service.partner}`)) {
    findings.push(missing("partner", service.partner, object, "partner"));
  }
  service.places.forEach((place, index) => {
    const field = `places[${index}]`;
    if (!names.has(`place/${place}`)) {
      findings.push(missing("place", place, object, field));
    }
    if (service.places.indexOf(place) !== index) {
      findings.push({
        kind: "repeated-place",
        object,
        field,
        message: `Place "${place}" is named twice`,
        remedy: "Name each place once",
      });
    }
  });
  return findings;
}

function checkCostShare(
  costShare: contracts.CostShare,
  names: ReadonlySet<string>,
): Finding[] {
  const object = objectPath(costShare);
  const findings: Finding[] = [];
  if (!names.has(`service/${costShare.service}`)) {
    findings.push(missing("service", costShare.service, object, "service"));
  }
  const partners = costShare.shares.map((share) => share.partner);
  partners.forEach((partner, index) => {
    const field = `shares[${index}].partner`;
    if (!names.has(`partner/${partner}`)) {
      findings.push(missing("partner", partner, object, field));
    }
    if (partners.indexOf(partner) !== index) {
      findings.push({
        kind: "repeated-partner",
        object,
        field,
        message: `Partner "${partner}" has two parts`,
        remedy: "Give each partner one part",
      });
    }
  });
  return [...findings, ...checkSum(costShare, object)];
}

function checkSum(costShare: contracts.CostShare, object: string): Finding[] {
  const sum = costShare.shares.reduce((all, part) => all + part.percent, 0);
  if (Math.abs(sum - TOTAL_PERCENT) <= PERCENT_TOLERANCE) return [];
  const difference = Math.abs(TOTAL_PERCENT - sum);
  const verb = sum < TOTAL_PERCENT ? "Add" : "Take away";
  return [{
    kind: "shares-sum",
    object,
    field: "shares",
    message: `The parts add up to ${sum} percent, not ${TOTAL_PERCENT}`,
    remedy: `${verb} ${difference} percent`,
  }];
}

function severalCostShares(
  objects: readonly contracts.ConfigObject[],
): Finding[] {
  const first = new Map<string, string>();
  const findings: Finding[] = [];
  for (const object of objects) {
    if (object.kind !== "cost-share") continue;
    const other = first.get(object.service);
    if (other === undefined) {
      first.set(object.service, object.name);
      continue;
    }
    findings.push({
      kind: "several-cost-shares",
      object: objectPath(object),
      field: "service",
      message: `Service "${object.service}" has a cost share "${other}" too`,
      remedy: `Delete one of "${other}" and "${object.name}"`,
    });
  }
  return findings;
}

function missing(
  kind: "place" | "partner" | "service",
  name: string,
  object: string,
  field: string,
): Finding {
  return {
    kind: `missing-${kind}`,
    object,
    field,
    message: `There is no ${kind} "${name}" in the set`,
    remedy: `Create "${kind}/${name}" or name another ${kind}`,
  };
}
