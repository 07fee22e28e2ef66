/**
 * Operator template commands against the table service: create, apply (change), retire, list. Writes are
 * conditional on the version read: of concurrent changes to one template one succeeds, the others fail with `conflict`.
 */
import * as crypto from "node:crypto";
import { decode } from "./decode.ts";
import { Failure, toFailure } from "./errors.ts";
import type { PlatformClient } from "./platformClient.ts";
import { StoredTemplate, Template, templatePrefix } from "./template.ts";

/** Template commands over one platform client. */
export class TemplateStore {
  constructor(private readonly platform: PlatformClient) {}

  /** Creates a template; `conflict` if one of that name exists. Returns its version (1). */
  async create(input: unknown): Promise<number> {
    const template = decode(Template, input, "bad-template");
    return this.write(template, 0, false);
  }

  /**
   * Changes a template. With `expectVersion` the write applies only to that version; without it, to the
   * version just read. Either way a concurrent change makes this one fail with `conflict`.
   */
  async apply(input: unknown, expectVersion?: number): Promise<number> {
    const template = decode(Template, input, "bad-template");
    const current = await this.read(template.name);
    return this.write(template, expectVersion ?? current.version, false);
  }

  /** Retires a template: its models are unloaded and its customer loses access to them. */
  async retire(name: string, expectVersion?: number): Promise<number> {
    const current = await this.read(name);
    return this.write(current.template, expectVersion ?? current.version, true);
  }

  /** Lists stored templates. */
  async list(): Promise<StoredTemplate[]> {
    const { rows } = await this.platform.scan(templatePrefix);
    return rows.map((row) => decode(StoredTemplate, row.value, "internal"));
  }

  private async read(name: string): Promise<StoredTemplate> {
    const row = await this.platform.get(templatePrefix + name);
    if (row === null) throw new Failure("bad-template", `no template named ${name}; create it first`);
    return decode(StoredTemplate, row.value, "internal");
  }

  private async write(template: Template, expectVersion: number, retired: boolean): Promise<number> {
    const version = expectVersion + 1;
    const writeId = crypto.randomUUID();
    const value: StoredTemplate = { template, version, retired, writeId };
    try {
      await this.platform.commit([{ key: templatePrefix + template.name, value, expectVersion }]);
    } catch (error) {
      // If the response is lost, the write may still have been committed. The row is read back, and our own write id in it
      // proves the commit, so that an applied change isn't reported as failed.
      if (
        toFailure(error).kind !== "platform-unavailable" ||
        !(await this.wasCommitted(template.name, writeId))
      )
        throw error;
    }
    return version;
  }

  private async wasCommitted(name: string, writeId: string): Promise<boolean> {
    try {
      const row = await this.platform.get(templatePrefix + name);
      return row !== null && decode(StoredTemplate, row.value, "internal").writeId === writeId;
    } catch {
      return false;
    }
  }
}
