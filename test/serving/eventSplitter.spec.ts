import { expect } from "chai";
import * as fc from "fast-check";
import { EventSplitter } from "../../src/serving/eventSplitter.ts";

/** An id line: the id of an event is its first line of this form. */
const idLine = /^id:[ ]?(\d+)\r?$/m;

function idsOf(text: string, cut: number): (number | undefined)[] {
  const splitter = new EventSplitter();
  const bytes = Buffer.from(text, "latin1");
  return [...splitter.push(bytes.subarray(0, cut)), ...splitter.push(bytes.subarray(cut))].map(
    ({ id }) => id,
  );
}

describe("the events of a stream", () => {
  it("should have the id of their first id line, wherever the bytes are split", () => {
    const line = fc.oneof(
      fc.constantFrom("id:", "id: 7", "id:7", "id:  7", "id: 7 ", "id: 7x", "ID: 7", "data: id: 7", ": id"),
      fc.bigInt({ min: 0n, max: 10n ** 19n }).map((id) => `id: ${id}`),
      fc.string({ maxLength: 6 }).filter((text) => text !== "" && !/[\r\n]/.test(text)),
    );
    const event = fc.array(line, { minLength: 1, maxLength: 4 });
    fc.assert(
      fc.property(event, fc.constantFrom("\n", "\r\n"), fc.nat(60), (lines, end, cut) => {
        const text = lines.map((each) => `${each}${end}`).join("") + end;
        const id = idLine.exec(Buffer.from(text, "latin1").toString("latin1"))?.[1];
        expect(idsOf(text, cut)).to.deep.equal([id === undefined ? undefined : Number(id)]);
      }),
      { numRuns: 2_000 },
    );
  });
});
