package mastdrift.distribution;

import java.util.List;

/**
 * Requests of an operator to a control machine, and its responses. A response repeats the {@code requestId} of its
 * request.
 */
public sealed interface ControlMessage {

    /** Maximum number of problems of a change that are reported. */
    int MAX_PROBLEMS = 32;
    /** Maximum length of a human-readable text. */
    int MAX_TEXT_CHARS = 1_024;

    /** Id of the request, or of the request that this is a response to. */
    long requestId();

    // ---- requests

    /** Requests that a change be agreed on. Requesting it again under the same change id applies it only once. */
    record Apply(long requestId, Change change) implements ControlMessage { }

    /** Requests a resource as the machine has it. */
    record Get(long requestId, ResourceKind kind, String name) implements ControlMessage { }

    /** Requests the status of the machine and its subscribers. */
    record GetStatus(long requestId) implements ControlMessage { }

    // ---- responses

    /** The change was applied; {@code revision} is null if the revision that it made is no longer known. */
    record Applied(long requestId, Revision revision) implements ControlMessage { }

    /** The change was agreed on but changed nothing: a resource had another version than the writer expected. */
    record Conflicted(long requestId, String reason) implements ControlMessage { }

    /** The change was not applied, and cannot be applied unless it is corrected. */
    record Refused(long requestId, List<String> problems) implements ControlMessage {

        /** Takes an immutable copy of the list. */
        public Refused {
            problems = List.copyOf(problems);
        }
    }

    /** The result is unknown, the change may be applied now or later: retry under the same id. */
    record Unknown(long requestId, String reason) implements ControlMessage { }

    /** This machine is a relay and does not propose changes: ask a voter. */
    record AskVoter(long requestId, String reason) implements ControlMessage { }

    /** A resource at the given revision of the machine's table; {@code resource} is null if there is none. */
    record Found(long requestId, Revision revision, Resource resource) implements ControlMessage { }

    /**
     * Status of the machine.
     * @param requestId id of the request
     * @param revision revision of the machine's table
     * @param role role of the machine
     * @param leader leader of the replicated log as far as known; empty if unknown, and on a relay
     * @param subscribers number of connected subscribers
     * @param disconnectedMillis time since the machine lost contact with the source of its table; 0 while it has
     * contact
     * @param zones status of subscribers by zone, at most {@link ZoneSummaries#MAX_ZONES}
     */
    record Status(long requestId, Revision revision, String role, String leader, int subscribers, long disconnectedMillis, List<Message.ZoneSummary> zones) implements ControlMessage {

        /** Takes an immutable copy of the list. */
        public Status {
            zones = List.copyOf(zones);
        }
    }
}
