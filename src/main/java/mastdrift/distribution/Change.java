package mastdrift.distribution;

import java.util.List;

/**
 * What a writer wants changed, whole or not at all.
 *
 * @param id the writer's own: the same change asked for twice under one id is in once
 * @param edits in their order, each of another resource
 */
public record Change(String id, List<Edit> edits) implements Command {

    /** Bytes of a change as it is agreed on, at most. */
    public static final int BYTES_MOST = 64 << 10;
    /** Edits of a change, at most. */
    public static final int EDITS_MOST = 1_024;
    /** Characters of an id, at most. */
    public static final int ID_MOST = 64;

    /** Keeps its own list. */
    public Change {
        edits = List.copyOf(edits);
    }
}
