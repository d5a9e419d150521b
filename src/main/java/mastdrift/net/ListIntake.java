package mastdrift.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import mastdrift.engine.Member;
import mastdrift.membership.ListGuard;

/**
 * Validates the lists that discovery sends. Valid lists are passed on to be applied; of rejected ones only the certain
 * part is: which hosts are draining or removed. Tracks the current version, and whether the next watch has to ask for
 * the full list.
 */
final class ListIntake {

    private final ListGuard guard;
    private final Discovery.Listener listener;
    private boolean wholeNeeded;

    ListIntake(HostList known, Discovery.Listener listener) {
        guard = new ListGuard(known.rev(), !known.entries().isEmpty());
        this.listener = listener;
    }

    /** The current version. */
    long version() {
        return guard.rev();
    }

    /**
     * The version from which changes are to be requested: 0, which asks for the full list, if a host was taken out of
     * service that no later change may name.
     */
    long askFrom() {
        return wholeNeeded ? 0 : guard.rev();
    }

    /** Throws IllegalArgumentException or IOException for input that is no list at all. */
    static HostList.Reading read(byte[] text) throws IOException {
        return HostList.read(JSON.std.anyFrom(text));
    }

    /**
     * Applies a list. Returns null if it was accepted in full; otherwise the reason for which only its drains and
     * removals were applied.
     */
    String take(HostList.Reading reading) {
        HostList list = reading.list();
        String fault = reading.fault();
        if (fault == null) {
            String doubt = guard.check(list.rev(), list.all(), list.entries().stream().map(Member::host).toList()).fault();
            fault = doubt == null ? null : "list " + list.rev() + ", " + doubt;
        }
        if (fault == null) {
            wholeNeeded &= !list.all();
            listener.listed(list);
        } else {
            withdraw(reading);
        }
        return fault;
    }

    /** Applies only the drains and removals of a list. */
    void withdraw(HostList.Reading reading) {
        HostList list = reading.list();
        boolean whole = list.all() && reading.named() != null;
        List<Member> leaving = reading.leaving();
        if (whole || !leaving.isEmpty()) {
            boolean somebody = listener.withdrawn(new Discovery.Withdrawal(list.rev(), whole ? reading.named() : null, leaving));
            wholeNeeded |= somebody && (whole || list.rev() <= guard.rev());
        }
    }
}
