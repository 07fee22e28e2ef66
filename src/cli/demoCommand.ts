/** `parsleynotch demo` (`npm start`): runs the embedded system, sends sample requests and prints the responses. */
import * as commander from "commander";
import { EmbeddedSystem } from "./embeddedSystem.ts";

interface Sample {
  readonly title: string;
  readonly customer: string;
  readonly path: string;
  readonly body: unknown;
  readonly headers?: Record<string, string>;
}

const samples: readonly Sample[] = [
  {
    title: "Andes: book list from a syllabus excerpt (streamed)",
    customer: "andes",
    path: "/v1/chat/completions",
    body: {
      model: "syllabus-8b",
      stream: true,
      max_tokens: 12,
      messages: [
        {
          role: "user",
          content: "Syllabus: Cálculo I, semana 1 límites, semana 2 derivadas. Draft the book list.",
        },
      ],
    },
  },
  {
    title: "Andes: catalog reservation (not idempotent)",
    customer: "andes",
    path: "/v1/services/catalog/reserve",
    body: { isbn: "978-956-00-0000-1", student: "20.123.456-7" },
    headers: { "idempotency-key": "reserve-20.123.456-7-978-956-00-0000-1" },
  },
  {
    title: "Ovaşeker: gate ticket",
    customer: "ovaseker",
    path: "/v1/services/weighbridge/gate-ticket",
    body: { truck: "42 ABC 123", bridge: "eregli-2" },
  },
  {
    title: "Ovaşeker: sugar-content slip (not idempotent)",
    customer: "ovaseker",
    path: "/v1/services/slips/sugar-slip",
    body: { delivery: "D-2026-7781", polarisation: 16.4 },
    headers: { "idempotency-key": "slip-D-2026-7781" },
  },
  {
    title: "Ovaşeker: delivery-dispute draft",
    customer: "ovaseker",
    path: "/v1/chat/completions",
    body: {
      model: "intake-8b",
      max_tokens: 12,
      messages: [
        {
          role: "user",
          content: "Grower disputes tare weight of truck 42 ABC 123 at eregli-2. Draft the dispute.",
        },
      ],
    },
  },
];

/** The `demo` command. */
export function demoCommand(): commander.Command {
  return new commander.Command("demo")
    .description(
      "Run the whole system in one process on loopback, send sample requests, print the responses and exit",
    )
    .action(async () => {
      const system = new EmbeddedSystem();
      await system.start();
      try {
        for (const [i, sample] of samples.entries()) await send(system.entryUrl(i % 2), sample);
        const repeated = samples[3];
        if (repeated !== undefined)
          await send(system.entryUrl(0), {
            ...repeated,
            title: `${repeated.title}, retried with the same key`,
          });
        await printSummary(system);
      } finally {
        await system.dispose();
      }
    });
}

async function send(base: string, sample: Sample): Promise<void> {
  const started = performance.now();
  const response = await fetch(base + sample.path, {
    method: "POST",
    headers: { "content-type": "application/json", "x-customer": sample.customer, ...sample.headers },
    body: JSON.stringify(sample.body),
  });
  const text = await response.text();
  const ms = (performance.now() - started).toFixed(1);
  process.stdout.write(
    `\n== ${sample.title}\n   ${response.status} in ${ms} ms via ${base}\n   ${render(text)}\n`,
  );
}

function render(text: string): string {
  if (!text.startsWith("data: ")) return text;
  const pieces = text
    .split("\n\n")
    .map((event) => event.replace(/^data: /, ""))
    .filter((data) => data !== "" && data !== "[DONE]")
    .map(
      (data) =>
        (JSON.parse(data) as { choices: { delta: { content?: string } }[] }).choices[0]?.delta.content ?? "",
    );
  return `(streamed) ${pieces.join("")}`;
}

async function printSummary(system: EmbeddedSystem): Promise<void> {
  const executions = [...system.services.values()].flatMap((service) =>
    service.executions.map((e) => e.call),
  );
  process.stdout.write("\n== Summary\n");
  for (const [i, entry] of system.entries.entries()) {
    const moves = (await entry.metrics.moves.get()).values.reduce((sum, v) => sum + v.value, 0);
    process.stdout.write(
      `   entry-${i + 1}: attainment per engine ${JSON.stringify(await entry.metrics.attainment())}, moves ordered ${moves}\n`,
    );
  }
  process.stdout.write(
    `   service executions: ${JSON.stringify(executions)} (the slip was executed once despite the retry)\n`,
  );
}
