/**
 * Bounds of what is read of the platform's responses. A faulty server may send bytes without end.
 */
import type { BodyBounds } from '@finchpitch/core'

/** Several times what a list of thousands of instances, or the largest object, has. */
export const platformBodyBounds: BodyBounds = { maxBytes: 16 * 1024 * 1024, maxMs: 10_000 }
