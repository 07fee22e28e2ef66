/** Messages of the platform's table service: versioned rows, conditional writes, multi-row transactions. */
import * as Schema from "effect/Schema";

/** One row: `version` starts at 1 on creation and increases by one with each write; `revision` is the commit sequence. */
export const Row = Schema.Struct({
  key: Schema.String,
  value: Schema.Unknown,
  version: Schema.Number,
  revision: Schema.Number,
});
/** A decoded row. */
export type Row = typeof Row.Type;

/**
 * One write of a transaction. `expectVersion`: 0 means "must not exist", n means "must be at version n",
 * absent means unconditional. `value: null` deletes.
 */
export const Write = Schema.Struct({
  key: Schema.String,
  value: Schema.Unknown,
  expectVersion: Schema.optionalKey(Schema.Number),
});
/** A decoded write. */
export type Write = typeof Write.Type;

/** `table.get` params. */
export const GetParams = Schema.Struct({ key: Schema.String });
/** `table.scan` params: rows whose key starts with `prefix` and whose revision is above `since`. */
export const ScanParams = Schema.Struct({ prefix: Schema.String, since: Schema.optionalKey(Schema.Number) });
/** `table.commit` params: either all writes are applied or none. */
export const CommitParams = Schema.Struct({ writes: Schema.Array(Write) });

/** `table.get` result. */
export const GetResult = Schema.Union([Row, Schema.Null]);
/** `table.scan` result: matching rows and the table's current revision. */
export const ScanResult = Schema.Struct({ rows: Schema.Array(Row), revision: Schema.Number });
/** A decoded scan result. */
export type ScanResult = typeof ScanResult.Type;
/** `table.commit` result: the new revision and the rows as written. */
export const CommitResult = Schema.Struct({ revision: Schema.Number, rows: Schema.Array(Row) });
/** A decoded commit result. */
export type CommitResult = typeof CommitResult.Type;
