/** Cuts the bytes of an event stream into whole events, so that a broken stream never ends inside one. */

/** One event: its bytes with the blank line that ends it, and its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

const newline = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id:[ ]?(\d+)\r?$/m;

/** Collects chunks and gives back the events completed by each. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get incomplete(): Buffer {
    return this.rest;
  }

  /** Adds a chunk; the events it completes, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (let end = eventEnd(bytes, from); end > 0; end = eventEnd(bytes, from)) {
      const event = bytes.subarray(from, end);
      const id = idField.exec(event.toString("latin1"))?.[1];
      events.push({ bytes: event, id: id === undefined ? undefined : Number(id) });
      from = end;
    }
    this.rest = bytes.subarray(from);
    return events;
  }
}

/** Index after the blank line that ends the event starting at `from`; 0 if it is not complete. */
function eventEnd(bytes: Buffer, from: number): number {
  for (let i = bytes.indexOf(newline, from); i >= 0; i = bytes.indexOf(newline, i + 1)) {
    if (bytes[i + 1] === newline) return i + 2;
    if (bytes[i + 1] === carriageReturn && bytes[i + 2] === newline) return i + 3;
  }
  return 0;
}
