/** Decoding untrusted input with a schema into a purify-ts `Either` of a `Failure` or the value. */
import * as purify from "purify-ts";
import * as Schema from "effect/Schema";
import { Failure, type ErrorKind } from "./errors.ts";

type Decoder<A> = (input: unknown) => A;

/** Decoders that were made, by schema: making one costs more than decoding a small message. */
const decoders = new WeakMap<object, Decoder<unknown>>();

function decoderOf<A>(schema: Schema.Codec<A, unknown>): Decoder<A> {
  const known = decoders.get(schema) as Decoder<A> | undefined;
  if (known !== undefined) return known;
  const decoder: Decoder<A> = Schema.decodeUnknownSync(schema);
  decoders.set(schema, decoder);
  return decoder;
}

/** Decodes `input` with `schema`: `Right` the value, or `Left` a `Failure` of `kind` with the schema's message. */
export function decodeEither<A>(
  schema: Schema.Codec<A, unknown>,
  input: unknown,
  kind: ErrorKind = "bad-request",
): purify.Either<Failure, A> {
  try {
    return purify.Right(decoderOf(schema)(input));
  } catch (error) {
    const detail = (error instanceof Error ? error.message : String(error)).replace(/\s+/g, " ");
    return purify.Left(new Failure(kind, `input does not fit: ${detail}`));
  }
}

/** Like `decodeEither`, but throws the `Failure`; for handlers whose failures are answered in one place. */
export function decode<A>(
  schema: Schema.Codec<A, unknown>,
  input: unknown,
  kind: ErrorKind = "bad-request",
): A {
  return unwrap(decodeEither(schema, input, kind));
}

/** The value, or throws the failure: for callers that answer failures in one place of their own. */
export function unwrap<A>(either: purify.Either<Failure, A>): A {
  return either.caseOf({
    Left: (failure) => {
      throw failure;
    },
    Right: (value) => value,
  });
}
