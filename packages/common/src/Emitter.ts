/** A typed event source. */

export type Unsubscribe = () => void;

export class Emitter<T> {
  private readonly listeners = new Set<(event: T) => void>();

  on(listener: (event: T) => void): Unsubscribe {
    this.listeners.add(listener);
    return () => void this.listeners.delete(listener);
  }

  emit(event: T): void {
    for (const listener of [...this.listeners]) listener(event);
  }
}
