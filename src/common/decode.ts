/** Decodes untrusted input with a schema into a purify-ts `Either` of a `Failure` or the value. */
import * as purify from "purify-ts";
import * as Schema from "effect/Schema";
import { Failure, type ErrorKind } from "./errors.ts";

type Decoder<A> = (input: unknown) => A;

/** Compiled decoders by schema: compiling one costs more than decoding a small message. */
const decoderCache = new WeakMap<object, Decoder<unknown>>();

function decoderOf<A>(schema: Schema.Codec<A, unknown>): Decoder<A> {
  const cached = decoderCache.get(schema) as Decoder<A> | undefined;
  if (cached !== undefined) return cached;
  const decoder: Decoder<A> = Schema.decodeUnknownSync(schema);
  decoderCache.set(schema, decoder);
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
    return purify.Left(new Failure(kind, `invalid input: ${detail}`));
  }
}

/** Like `decodeEither`, but throws the `Failure`; for handlers whose callers turn failures into responses centrally. */
export function decode<A>(
  schema: Schema.Codec<A, unknown>,
  input: unknown,
  kind: ErrorKind = "bad-request",
): A {
  return unwrap(decodeEither(schema, input, kind));
}

/** Returns the value or throws the failure; for code whose callers handle failures centrally. */
export function unwrap<A>(either: purify.Either<Failure, A>): A {
  return either.caseOf({
    Left: (failure) => {
      throw failure;
    },
    Right: (value) => value,
  });
}
