package mastdrift.distribution;

import java.util.List;

/**
 * An atomic set of edits that a writer requests: all of them are applied, or none.
 * @param id chosen by the writer; a change that is requested twice under the same id is applied once
 * @param edits in order of application, each of a different resource
 */
public record Change(String id, List<Edit> edits) implements Command {

    /** Maximum size of a change in the replicated log. */
    public static final int MAX_BYTES = 64 << 10;
    /** Maximum number of edits in a change. */
    public static final int MAX_EDITS = 1_024;
    /** Maximum length of an id. */
    public static final int MAX_ID_CHARS = 64;

    /** Takes an immutable copy of the list. */
    public Change {
        edits = List.copyOf(edits);
    }
}
