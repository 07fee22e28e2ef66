/**
 * Compact encoding of what readers tell the other nodes about the caches of engines: binary records as base64 text, as
 * JSON would take four times as much of small links.
 */

/** Changes of one engine's cache, or all of it. */
export interface CacheUpdate {
  /** Hash of the engine's incarnation. */
  readonly server: number;
  /** Grows by 1 with each update of an engine that its reader sends, modulo `sequenceModulus`. */
  readonly sequence: number;
  /** Time since the engine's answer on which it is based, ms. */
  readonly ageMs: number;
  /** `parts` are all shared parts rather than those that changed. */
  readonly whole: boolean;
  /** Whether parts that were never named aren't cached. */
  readonly complete: boolean;
  /** Part key and tokens now cached. */
  readonly parts: readonly (readonly [key: number, tokens: number])[];
}

/** Content of a message. */
export interface CacheMessage {
  readonly updates: readonly CacheUpdate[];
  /** Keys of parts that the sender found to be shared. */
  readonly shared: readonly number[];
}

export const sequenceModulus = 0x10000;
export const maxEncodedTokens = 0xffff;
/** Unit of encoded ages, ms, and their maximum. */
const ageUnitMs = 20;
const maxAge = 0xff;
/** Server hash, flags, sequence, age, number of parts. */
const headBytes = 9;
const partBytes = 6;
const keyBytes = 4;
/** Keys and parts of a record are counted in one byte; larger updates are divided. */
const maxCount = 0xff;

const flags = { whole: 1, complete: 2, shared: 4, continued: 8 };

/** Encodes the message; undefined if it has no content. */
export function encodeCacheMessage({ updates, shared }: CacheMessage): string | undefined {
  const records = [
    ...updates.flatMap((update) => encodeUpdate(update)),
    ...chunks(shared).map((keys) => encodeShared(keys)),
  ];
  return records.length === 0 ? undefined : Buffer.concat(records).toString("base64");
}

/** Decodes a message; undefined if it is malformed. */
export function decodeCacheMessage(text: string): CacheMessage | undefined {
  const bytes = Buffer.from(text, "base64");
  const updates: CacheUpdate[] = [];
  const shared: number[] = [];
  let at = 0;
  while (at < bytes.length) {
    if (at + headBytes > bytes.length) return undefined;
    const server = bytes.readUInt32BE(at);
    const flag = bytes.readUInt8(at + 4);
    const sequence = bytes.readUInt16BE(at + 5);
    const ageMs = bytes.readUInt8(at + 7) * ageUnitMs;
    const count = bytes.readUInt8(at + 8);
    const isShared = (flag & flags.shared) !== 0;
    const itemBytes = isShared ? keyBytes : partBytes;
    at += headBytes;
    if (at + count * itemBytes > bytes.length) return undefined;
    const offsets = Array.from({ length: count }, (_, i) => at + i * itemBytes);
    at += count * itemBytes;
    if (isShared) {
      shared.push(...offsets.map((offset) => bytes.readUInt32BE(offset)));
      continue;
    }
    const parts = offsets.map((o) => [bytes.readUInt32BE(o), bytes.readUInt16BE(o + keyBytes)] as const);
    const last = updates.at(-1);
    if ((flag & flags.continued) !== 0) {
      if (last?.server !== server) return undefined;
      updates.splice(-1, 1, { ...last, parts: [...last.parts, ...parts] });
      continue;
    }
    const whole = (flag & flags.whole) !== 0;
    updates.push({ server, sequence, ageMs, whole, complete: (flag & flags.complete) !== 0, parts });
  }
  return { updates, shared };
}

function encodeUpdate({ server, sequence, ageMs, whole, complete, parts }: CacheUpdate): Buffer[] {
  const flag = (whole ? flags.whole : 0) | (complete ? flags.complete : 0);
  const age = Math.min(maxAge, Math.ceil(ageMs / ageUnitMs));
  const divided = parts.length === 0 ? [[]] : chunks(parts);
  return divided.map((some, index) => {
    const record = Buffer.alloc(headBytes + some.length * partBytes);
    writeHead(record, server, index === 0 ? flag : flag | flags.continued, sequence, age, some.length);
    some.forEach(([key, tokens], i) => {
      record.writeUInt32BE(key, headBytes + i * partBytes);
      record.writeUInt16BE(Math.min(maxEncodedTokens, tokens), headBytes + i * partBytes + keyBytes);
    });
    return record;
  });
}

function encodeShared(keys: readonly number[]): Buffer {
  const record = Buffer.alloc(headBytes + keys.length * keyBytes);
  writeHead(record, 0, flags.shared, 0, 0, keys.length);
  keys.forEach((key, i) => record.writeUInt32BE(key, headBytes + i * keyBytes));
  return record;
}

function writeHead(
  record: Buffer,
  server: number,
  flag: number,
  sequence: number,
  age: number,
  count: number,
): void {
  record.writeUInt32BE(server, 0);
  record.writeUInt8(flag, 4);
  record.writeUInt16BE(sequence, 5);
  record.writeUInt8(age, 7);
  record.writeUInt8(count, 8);
}

function chunks<T>(items: readonly T[]): T[][] {
  const result: T[][] = [];
  for (let i = 0; i < items.length; i += maxCount) result.push(items.slice(i, i + maxCount));
  return result;
}
