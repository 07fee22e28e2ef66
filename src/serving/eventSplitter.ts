/** Splits the bytes of an event stream into complete events, so that an interrupted stream never ends inside one. */

/** One event: its bytes including the blank line that ends it, and its id if it has one. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id: number | undefined;
}

const newline = 0x0a;
const carriageReturn = 0x0d;
const space = 0x20;
const zero = 0x30;
const nine = 0x39;
const idPrefix = Buffer.from("id:");
const idField = /^id:[ ]?(\d+)\r?$/m;
/** Ids of up to this many digits are parsed without the regular expression. */
const maxFastDigits = 15;

/** Collects chunks and returns the events completed by each. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not complete yet. */
  get incomplete(): Buffer {
    return this.remainder;
  }

  /** Adds a chunk and returns the events that it completes, in order. */
  push(chunk: Buffer): StreamEvent[] {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    const events: StreamEvent[] = [];
    let from = 0;
    for (let end = eventEnd(bytes, from); end > 0; end = eventEnd(bytes, from)) {
      const event = bytes.subarray(from, end);
      events.push({ bytes: event, id: firstLineId(event) ?? anyLineId(event) });
      from = end;
    }
    this.remainder = bytes.subarray(from);
    return events;
  }
}

/** Index after the blank line that ends the event starting at `from`; 0 if the event is not complete. */
function eventEnd(bytes: Buffer, from: number): number {
  for (let i = bytes.indexOf(newline, from); i >= 0; i = bytes.indexOf(newline, i + 1)) {
    if (bytes[i + 1] === newline) return i + 2;
    if (bytes[i + 1] === carriageReturn && bytes[i + 2] === newline) return i + 3;
  }
  return 0;
}

/** Parses the id of an event that begins with it, as nearly all do; undefined if in doubt. */
function firstLineId(event: Buffer): number | undefined {
  if (event[0] !== idPrefix[0] || event[1] !== idPrefix[1] || event[2] !== idPrefix[2]) return undefined;
  const from = event[3] === space ? 4 : 3;
  let id = 0;
  let at = from;
  for (let byte = event[at]; isDigit(byte); byte = event[at]) {
    id = id * 10 + (byte - zero);
    at += 1;
  }
  const isComplete = event[at] === newline || (event[at] === carriageReturn && event[at + 1] === newline);
  return isComplete && at > from && at - from <= maxFastDigits ? id : undefined;
}

function isDigit(byte: number | undefined): byte is number {
  return byte !== undefined && byte >= zero && byte <= nine;
}

function anyLineId(event: Buffer): number | undefined {
  if (!event.includes(idPrefix)) return undefined;
  const id = idField.exec(event.toString("latin1"))?.[1];
  return id === undefined ? undefined : Number(id);
}
