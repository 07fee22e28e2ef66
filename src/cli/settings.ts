/** Settings of each subcommand: flags and `PARSLEYNOTCH_*` env vars (commander), validated by a schema at startup. */
import * as Schema from "effect/Schema";
import * as SchemaGetter from "effect/SchemaGetter";
import { decodeEither } from "../common/decode.ts";
import { Failure } from "../common/errors.ts";

/** A TCP port given as a string (0: any free port). */
export const PortSetting = Schema.FiniteFromString.check(
  Schema.isInt(),
  Schema.isBetween({ minimum: 0, maximum: 65535 }),
);
/** A positive whole number given as a string. */
export const CountSetting = Schema.FiniteFromString.check(Schema.isInt(), Schema.isGreaterThan(0));
/** A non-negative number given as a string. */
export const AmountSetting = Schema.FiniteFromString.check(Schema.isGreaterThanOrEqualTo(0));
/** An http URL. */
export const UrlSetting = Schema.String.check(Schema.isPattern(/^https?:\/\/[^\s/]+(:\d+)?$/));
/** Comma-separated http URLs; may be empty. */
export const AddressesSetting = Schema.String.check(
  Schema.isPattern(/^(https?:\/\/[^\s/,]+(,https?:\/\/[^\s/,]+)*)?$/),
).pipe(
  Schema.decodeTo(Schema.Array(Schema.String), {
    decode: SchemaGetter.transform((urls: string) => (urls === "" ? [] : urls.split(","))),
    encode: SchemaGetter.transform((urls: readonly string[]) => urls.join(",")),
  }),
);
/** A zone or id name. */
export const NameSetting = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9._-]{0,62}$/));

/** Validates raw settings against `schema`; throws `bad-settings` naming the setting and what was expected. */
export function checkSettings<A>(schema: Schema.Codec<A, unknown>, raw: unknown): A {
  return decodeEither(schema, raw, "bad-settings")
    .mapLeft(
      (failure) => new Failure("bad-settings", failure.message.replace("invalid input", "invalid setting")),
    )
    .caseOf({
      Left: (failure) => {
        throw failure;
      },
      Right: (settings) => settings,
    });
}
