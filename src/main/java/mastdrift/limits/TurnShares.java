package mastdrift.limits;

/**
 * Divides the turns of an event loop among connections. Without a bound the loop works on a connection for as long as it
 * has input, and everybody else waits: a client that sends without a pause always has input.
 *
 * <p>Work is counted in units of about the same cost, some microseconds. In each turn a connection may use {@code
 * unitsPerConnection}, as long as all connections together have not used {@code unitsPerTurn}; beyond that it still has a
 * small guaranteed part, so that none starves. The rest of its work waits for later turns. A turn thus takes no longer than
 * {@code unitsPerTurn} and the guaranteed part of each connection.
 *
 * <p>Looking for the close of a connection behind its unread input is work that can't wait. It has a bound of its own, and a
 * caller that reaches it has to assume that the client may have left.
 *
 * <p>Turn 0 stands for a loop that doesn't report its turns: nothing is bounded then. Reads no clock. Not thread-safe.
 */
public final class TurnShares {

    /** Units that answering a request costs once it has been decoded. */
    public static final int UNITS_PER_ANSWER = 8;
    /** Units that decoding a usual request and answering it cost together. */
    private static final int UNITS_PER_REQUEST = 2 * UNITS_PER_ANSWER;
    private static final int UNITS_PER_MESSAGE = 4;
    private static final int BYTES_PER_UNIT = 256;
    private static final int FIELDS_PER_UNIT = 4;
    /** The default shares: 64 requests in a turn, 32 of one connection, one of each at the least. */
    private static final int DEFAULT_UNITS_PER_TURN = 64 * UNITS_PER_REQUEST;
    private static final int DEFAULT_UNITS_PER_CONNECTION = 32 * UNITS_PER_REQUEST;
    private static final int DEFAULT_SEARCH_UNITS_PER_TURN = 2 * DEFAULT_UNITS_PER_TURN;

    /** What one connection has used in a turn. */
    public static final class Share {
        private long turn = -1;
        private int usedUnits;
    }

    private final int unitsPerTurn;
    private final int unitsPerConnection;
    private final int guaranteedUnits;
    private final int searchUnitsPerTurn;
    private long turn = -1;
    private int usedUnits;
    private int searchUnits;

    /** The default shares. */
    public TurnShares() {
        this(DEFAULT_UNITS_PER_TURN, DEFAULT_UNITS_PER_CONNECTION, UNITS_PER_REQUEST, DEFAULT_SEARCH_UNITS_PER_TURN);
    }

    /** Shares of the given sizes; {@code searchUnitsPerTurn} bounds the work of looking for closes. */
    public TurnShares(int unitsPerTurn, int unitsPerConnection, int guaranteedUnits, int searchUnitsPerTurn) {
        this.unitsPerTurn = unitsPerTurn;
        this.unitsPerConnection = unitsPerConnection;
        this.guaranteedUnits = guaranteedUnits;
        this.searchUnitsPerTurn = searchUnitsPerTurn;
    }

    /** The units that one step of decoding costs, by the bytes and header fields that it has consumed. */
    public static int decodingUnits(int bytes, int fields, boolean messageCompleted) {
        return 1 + bytes / BYTES_PER_UNIT + fields / FIELDS_PER_UNIT + (messageCompleted ? UNITS_PER_MESSAGE : 0);
    }

    /** Whether a connection may do more work in this turn. */
    public boolean mayWork(long currentTurn, Share share) {
        enter(currentTurn, share);
        return share.usedUnits < guaranteedUnits || share.usedUnits < unitsPerConnection && usedUnits < unitsPerTurn;
    }

    /** Records work of a connection. */
    public void recordWork(long currentTurn, Share share, int units) {
        enter(currentTurn, share);
        share.usedUnits += units;
        usedUnits += units;
    }

    /** Whether more may be done in this turn to look for the close of a connection. */
    public boolean maySearch(long currentTurn) {
        enter(currentTurn);
        return searchUnits < searchUnitsPerTurn;
    }

    /** Records work of looking for the close of a connection. */
    public void recordSearch(long currentTurn, int units) {
        enter(currentTurn);
        searchUnits += units;
    }

    private void enter(long currentTurn, Share share) {
        enter(currentTurn);
        if (share.turn != currentTurn || currentTurn == 0) {
            share.turn = currentTurn;
            share.usedUnits = 0;
        }
    }

    private void enter(long currentTurn) {
        if (turn != currentTurn || currentTurn == 0) {
            turn = currentTurn;
            usedUnits = 0;
            searchUnits = 0;
        }
    }
}
