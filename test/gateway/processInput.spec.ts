import * as http from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { offerLoad } from "../fixtures/disconnectingCallers.ts";
import { GatewayProcesses, GatewayProgram, ports } from "../fixtures/gatewayProcesses.ts";

describe("a gateway process", function () {
  this.timeout(30_000);
  let program: GatewayProgram;
  let processes: GatewayProcesses;

  before(async () => {
    program = await GatewayProgram.build();
  });

  beforeEach(async () => {
    processes = new GatewayProcesses({ program, hosts: 1 });
    await processes.start();
  });

  afterEach(async () => {
    await processes.stop();
  });

  after(() => {
    program.dispose();
  });

  function statusOf(port: number, path: string): Promise<number | undefined> {
    return new Promise((resolve, reject) => {
      const req = http.get({ host: processes.endpoints[0]?.ip, port, path, agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode);
      });
      req.on("error", reject);
    });
  }

  // Guards against a crash by one request line: a path of two slashes can't be parsed as a URL on its own.
  for (const port of [ports.ready, ports.directory])
    it(`should answer any path on port ${port}`, async () => {
      for (const path of ["//", "///", "//[", "*", "/%"])
        expect(await statusOf(port, path)).to.be.oneOf([400, 404]);
      expect(await processes.directory(0)).to.have.length(1);
    });

  // Guards against streams that are cut off as the platform repeats its signal.
  it("should finish its streams if it is asked to stop twice", async () => {
    const { endpoints } = processes;
    const calls = offerLoad({ endpoints, ratePerS: 30, forMs: 700, seed: 5, streamRatio: 1 });
    await delay(900);
    processes.signal(0, "SIGTERM");
    await delay(200);
    processes.signal(0, "SIGTERM");
    const ended = await calls;
    expect(ended).to.not.deep.equal([]);
    expect(ended.filter(({ status, complete }) => status !== 200 || complete !== true)).to.deep.equal([]);
  });
});
