// Compiles a script and writes V8's code cache next to it. Has to run with the same Node options as the program: V8
// rejects a cache that was created with different ones.
import * as fs from "node:fs";
import * as v8 from "node:v8";
import * as vm from "node:vm";

const filename = process.argv[2];
// Compiles functions eagerly rather than at their first call, so that the cache contains all of them.
v8.setFlagsFromString("--no-lazy");
const script = new vm.Script(fs.readFileSync(filename, "latin1"), { filename });
v8.setFlagsFromString("--lazy");
fs.writeFileSync(`${filename}.cache`, script.createCachedData());
