package mastdrift.distribution;

import java.util.List;

/** Requests of an operator to a control machine, and its responses. {@code requestId} is the number of the request, which its response repeats. */
public sealed interface ControlMessage {

    /** Problems of a change that are told, at most. */
    int PROBLEMS_MOST = 32;
    /** Characters of a line for a person, at most. */
    int TEXT_MOST = 1_024;

    /** Of the request, or of the one that it responds to. */
    long requestId();

    // ---- requests

    /** Have this change agreed on. Requested again under the same id it is in once. */
    record Apply(long requestId, Change change) implements ControlMessage { }

    /** What a resource is there. */
    record Get(long requestId, ResourceKind kind, String name) implements ControlMessage { }

    /** How the machine and its subscribers do. */
    record GetStatus(long requestId) implements ControlMessage { }

    // ---- responses

    /** The change is in; {@code revision} is null where it is known to be in and no longer by which revision. */
    record Applied(long requestId, Revision revision) implements ControlMessage { }

    /** The change was agreed on and changed nothing: a resource had another version than the writer expected. */
    record Conflicted(long requestId, String reason) implements ControlMessage { }

    /** The change isn't in, and never will be as it is. */
    record Refused(long requestId, List<String> problems) implements ControlMessage {

        /** Keeps its own list. */
        public Refused {
            problems = List.copyOf(problems);
        }
    }

    /** It may be in or may come in: ask again under the same id. */
    record Unknown(long requestId, String why) implements ControlMessage { }

    /** This machine passes on and agrees on nothing: ask a voter. */
    record AskVoter(long requestId, String why) implements ControlMessage { }

    /** A resource as it stands in the machine's table of that revision; null where there is none. */
    record Found(long requestId, Revision revision, Resource resource) implements ControlMessage { }

    /**
     * How the machine does.
     *
     * @param requestId of the request
     * @param revision that it has
     * @param role what it is
     * @param leader of the agreed log as far as it knows; empty for not known, and at one that passes on
     * @param subscribers that are connected to it
     * @param aloneMillis for how long it has heard nobody of whom its table comes; 0 where it hears one
     * @param zones how subscribers do, at most {@link ZoneSummaries#ZONES_MOST}
     */
    record Status(long requestId, Revision revision, String role, String leader, int subscribers, long aloneMillis, List<Message.ZoneSummary> zones) implements ControlMessage {

        /** Keeps its own list. */
        public Status {
            zones = List.copyOf(zones);
        }
    }
}
