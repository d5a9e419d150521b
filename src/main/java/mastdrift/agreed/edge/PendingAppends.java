package mastdrift.agreed.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import mastdrift.agreed.AgreedLog.AppendOutcome;

/**
 * The appends whose outcome is not known yet, up to a limit. Each ends exactly once: with its outcome, or as unknown when
 * the log is closed. Thread-safe; callbacks run on the thread that ends the append.
 */
final class PendingAppends implements AutoCloseable {

    /** An append whose outcome is awaited. */
    final class PendingAppend {

        private final Consumer<AppendOutcome> callback;

        private PendingAppend(Consumer<AppendOutcome> callback) {
            this.callback = callback;
        }

        /** Whether the outcome is still awaited. */
        boolean isPending() {
            synchronized (PendingAppends.this) {
                return appends.contains(this);
            }
        }

        /** Reports the outcome; a second one has no effect. */
        void end(AppendOutcome outcome) {
            boolean isFirst;
            synchronized (PendingAppends.this) {
                isFirst = appends.remove(this);
            }
            if (isFirst) {
                callback.accept(outcome);
            }
        }
    }

    private final int limit;
    private final Set<PendingAppend> appends = new HashSet<>();
    private boolean closed;

    PendingAppends(int limit) {
        this.limit = limit;
    }

    /** Adds an append; it has ended already, as unknown, if there are too many or if the log is closed. */
    PendingAppend add(Consumer<AppendOutcome> callback) {
        PendingAppend append = new PendingAppend(callback);
        boolean isClosed;
        boolean isFull;
        synchronized (this) {
            isClosed = closed;
            isFull = appends.size() >= limit;
            appends.add(append);
        }
        if (isClosed) {
            append.end(new AppendOutcome.Unknown("the log is closed"));
        } else if (isFull) {
            append.end(new AppendOutcome.Unknown("expected at most " + limit + " pending appends"));
        }
        return append;
    }

    /** Ends all appends; their outcomes are unknown. */
    @Override
    public void close() {
        List<PendingAppend> remaining;
        synchronized (this) {
            closed = true;
            remaining = List.copyOf(appends);
        }
        remaining.forEach(append -> append.end(new AppendOutcome.Unknown("the log is closed")));
    }
}
