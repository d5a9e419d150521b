package mastdrift.radius;

/**
 * One start of a server. Another start under the same name, or at the same address, knows nothing of the conversations of the
 * one before.
 *
 * @param uid the server's identifier, the same over restarts
 * @param startedAtMicros when it started, as the host list has it; 0 for long ago
 */
public record ServerInstance(String uid, long startedAtMicros) { }
