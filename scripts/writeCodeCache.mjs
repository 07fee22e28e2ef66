// Compiles a script and writes V8's code cache beside it. Runs under the options of node that the program is run with:
// V8 rejects a cache that was made under others.
import * as fs from "node:fs";
import * as v8 from "node:v8";
import * as vm from "node:vm";

const filename = process.argv[2];
// Functions are compiled with the script rather than at their first call, so that the cache holds all of them.
v8.setFlagsFromString("--no-lazy");
const script = new vm.Script(fs.readFileSync(filename, "latin1"), { filename });
v8.setFlagsFromString("--lazy");
fs.writeFileSync(`${filename}.cache`, script.createCachedData());
