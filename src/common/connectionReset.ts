/** Tells a connection that was reset from one that was closed. */
import type * as net from "node:net";

/**
 * Calls back, with whether the connection may have been reset, before any other listener sees its end.
 *
 * A reset that is read together with the last data is reported as the regular end: libuv 1.46 takes POLLHUP after a
 * partial read for the end of the input and doesn't read the error. Without framing the response then looks complete.
 */
export function onceEnded(socket: net.Socket, callback: (mayBeReset: boolean) => void): void {
  // `net` replaces `write` in its own listener.
  socket.prependOnceListener("end", () => {
    callback(mayBeReset(socket));
  });
}

function mayBeReset(socket: net.Socket): boolean {
  // A write in progress prevents another one, and an unread request resets the connection when the server closes it.
  if (socket.writableLength > 0) return true;
  // An empty write sends nothing, and returns the error that wasn't read: ECONNRESET only if the connection was reset
  // before the server closed it, EPIPE if it was reset afterwards.
  socket.write("");
  const error: NodeJS.ErrnoException | null = socket.errored;
  return error?.code === "ECONNRESET";
}
