import { expect } from "earl";
import { test } from "node:test";
import * as zlib from "node:zlib";
import { decodeMessage, encodeMessage } from "./peer_codec.ts";

/** Ranges as an update of a map names them. */
function updateOf(count: number): object {
  const ranges = Array.from({ length: count }, (_, index) => ({
    from: index * 400,
    to: index * 400 + 399,
    owner: { server: `i-${index % 60}`, bornMs: 1_767_000_000_000 + index },
    fence: index,
  }));
  return { map: { service: "keyed", ranges } };
}

/** Map updates must leave room on a small VM's link for other datagrams. */
test("should compress large messages, and read them again", () => {
  const update = updateOf(160);
  const bytes = encodeMessage("rangeMap", update);
  expect(bytes.length < JSON.stringify(update).length / 3).toEqual(true);
  expect(decodeMessage(Buffer.from(bytes)))
    .toEqual({ method: "rangeMap", params: update });
});

/** VMs of an earlier version read small messages only as plain JSON. */
test("should leave small messages as they are", () => {
  const bytes = encodeMessage("hello", { vm: "vm1" });
  expect(JSON.parse(Buffer.from(bytes).toString()).method).toEqual("hello");
});

/** A datagram from elsewhere must not fill the memory of a VM. */
test("should drop a message that is too large once decompressed", () => {
  const bytes = zlib.deflateSync(Buffer.alloc(2_000_000, 0x20));
  expect(decodeMessage(bytes)).toEqual(undefined);
  expect(decodeMessage(Buffer.from([0x78, 1, 2, 3]))).toEqual(undefined);
});
