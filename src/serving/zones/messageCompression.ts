/**
 * Compression of messages to nodes of other availability zones, where traffic is paid by the byte. Messages are small JSON
 * texts with the same field names each time, so they are compressed with a dictionary that all nodes have: alone, a
 * heartbeat would hardly become shorter.
 */
import * as zlib from "node:zlib";

/**
 * Identifies the dictionary; a node states it, and only nodes with the same one are sent compressed messages. Has to change
 * with the dictionary. It is also the first byte of a compressed message, so it differs from that of any JSON text.
 */
export const messageDictionary = 1;

/** Texts that messages have in common; the most frequent ones come last, as nearer ones take fewer bits. */
const dictionary = Buffer.from(
  '{"jsonrpc":"2.0","id":"10.1.0.1 1","error":null,"result":"roster.ask","roster","residency","runLock.acquire","adapter.ensure",' +
    '"softwareVersion":"v1","startedAtMs":17"state":"ready","goneInMs":"atHand":[],"engine":true,"residents":[{"model":"","version":1,' +
    '"adapters":["a1","a2","a3","a4","a5","a6","a7","a8","a9"]}],"slots":64,"leaving":false,"service":"","address":"10.128.0.1:8080",' +
    '"position":{"era":1,"version":},"registrations":[{"server":{"id":"i-","gone":[],"complete":false,"revision":' +
    '"storeEra":1,"unreachable":["i-","partitioned":true,"partition":"quotaShare":1,"token":"coming":{"paces":{"1.00,"0.25,"asked":{"demand":{' +
    '"waiting":{},"running":{},"adapters":{}"quarantinePosition":{"era":1,"version":0},"forwarding":true,"streamVersions":true,' +
    '"customers":true,"compactMessages":true,"messageDictionary":1,"callers":"10.1.0.1:8149","port":7380,"zone":"-a","strength":0.675,' +
    '"host":"front--a-1","ready":true,"active":true,"version":"fleetRevision":"readAgeMs":"configurationAgeMs":"steadyBusy":0.1,"busy":0.1,' +
    '"boot":179"base":"quotas":{"answers":{"i-":[1,1.00,0],"caches":"decoding":{"i-":[100,0,0,0,50,300,' +
    '"whole":false,"compact":"{"jsonrpc":"2.0","method":"pulse","params":{"ip":"10.1.0.1"' +
    '{"jsonrpc":"2.0","method":"loads","params":{"ip":"10.1.0.1","loads":{},"whole":false,"decoding":{"i-"},"compact":"',
);
/** Shorter messages are sent as they are. */
const minBytes = 100;
/** Maximum size of a message after decompression, bytes: far more than a datagram holds. */
const maxOutputBytes = 1_048_576;
/** A window of 4 KiB holds the dictionary and a message; the default of 32 KiB would be allocated for each message. */
const options = { dictionary, windowBits: 12, memLevel: 5, level: 6 } as const;

/** The compressed form; the message itself if it is too short to become shorter. */
export function compressMessage(message: Buffer): Buffer {
  if (message.length < minBytes) return message;
  const compressed = zlib.deflateRawSync(message, options);
  if (compressed.length + 1 >= message.length) return message;
  return Buffer.concat([Buffer.of(messageDictionary), compressed]);
}

/** The message in plain form; throws if it can't be decompressed. */
export function expandMessage(message: Buffer): Buffer {
  if (message[0] !== messageDictionary) return message;
  return zlib.inflateRawSync(message.subarray(1), { ...options, maxOutputLength: maxOutputBytes });
}
