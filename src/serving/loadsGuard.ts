/**
 * Checks load messages without the schema, which takes several times as long: a node receives them from every other node
 * several times a second. A message that isn't accepted here is left to the schema, which decides and says what is wrong.
 */
import type { LoadsMessage } from "./loadTracker.ts";

type Check = (value: unknown) => boolean;

const isNumber: Check = (value) => typeof value === "number" && Number.isFinite(value);
const isString: Check = (value) => typeof value === "string";

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isArrayOfNumbers(value: unknown): value is number[] {
  return Array.isArray(value) && value.every(isNumber);
}

function isTuple(length: number): Check {
  return (value) => isArrayOfNumbers(value) && value.length === length;
}

function isRecordOf(check: Check): Check {
  return (value) => {
    if (!isRecord(value)) return false;
    for (const key of Object.keys(value)) if (!check(value[key])) return false;
    return true;
  };
}

function isStruct(
  required: Readonly<Record<string, Check>>,
  optional: Readonly<Record<string, Check>>,
): Check {
  const requiredChecks = Object.entries(required);
  const optionalChecks = Object.entries(optional);
  return (value) => {
    if (!isRecord(value)) return false;
    for (const [name, check] of requiredChecks) if (!check(value[name])) return false;
    for (const [name, check] of optionalChecks) if (name in value && !check(value[name])) return false;
    return true;
  };
}

const pairs = isRecordOf(isTuple(2));
const answers = isRecordOf(isTuple(3));
const decoding = isRecordOf(isArrayOfNumbers);

/** Whether the value is a short heartbeat in a message. */
export const isCarriedPulse = isStruct(
  { boot: isNumber, base: isNumber, busy: isNumber, fleetRevision: isNumber },
  { steadyBusy: isNumber, configurationAgeMs: isNumber, readAgeMs: isNumber, paces: pairs },
);

const isMessage = isStruct(
  { ip: isString, loads: pairs, whole: (value) => typeof value === "boolean" },
  {
    ...{ compact: isString, caches: isString, answers, keyedAnswers: answers },
    ...{ decoding, keyedDecoding: decoding, pulse: isCarriedPulse },
    quotas: isStruct({ boot: isNumber, used: pairs }, {}),
  },
);

/** Whether the value is a valid load message; the schema accepts all such values. */
export function isLoadsMessage(value: unknown): value is LoadsMessage {
  return isMessage(value);
}
