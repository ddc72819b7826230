import type { Attempt } from './attempt.js';

/** Active attempts, indexed by one of their properties. */
export class GroupedAttempts {
  private readonly groups = new Map<string, Map<string, Attempt>>();

  public constructor(private readonly groupOf: (attempt: Attempt) => string) {}

  public set(attempt: Attempt): void {
    const group = this.groupOf(attempt);
    const members = this.groups.get(group) ?? new Map<string, Attempt>();
    members.set(attempt.id, attempt);
    this.groups.set(group, members);
  }

  public delete(attempt: Attempt): void {
    const group = this.groupOf(attempt);
    const members = this.groups.get(group);
    members?.delete(attempt.id);
    if (members?.size === 0) {
      this.groups.delete(group);
    }
  }

  public membersOf(group: string): readonly Attempt[] {
    return [...(this.groups.get(group)?.values() ?? [])];
  }
}
