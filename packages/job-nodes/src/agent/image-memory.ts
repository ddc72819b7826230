import type { ImageKnowledge } from '@basilcourse/jobs/pace/image-knowledge';

import type { AgentMessage } from '../lines/agent-message.js';
import type { LeaderMessage } from '../lines/leader-message.js';

/**
 * Keeps what the last leader told of images, and gives it back to the next one,
 * which starts without.
 */
export class ImageMemory {
  private images: ImageKnowledge | undefined;

  /** Takes in a message of the leader; returns what to answer it. */
  public take(message: LeaderMessage, now: number): AgentMessage | undefined {
    if (message.kind === 'images') {
      this.images = message.images;
    }
    const { images } = this;
    return message.kind === 'welcome' && images !== undefined
      ? { kind: 'images', sentAt: now, images }
      : undefined;
  }
}
