package mastdrift.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import mastdrift.engine.Member;
import mastdrift.membership.ListGuard;

/** Puts lists in force where they can be meant, and takes of the others what is certain in them: who drains or is gone. Knows which version is in
    force, and whether it has to be asked for whole. */
final class ListIntake {

    private final ListGuard guard;
    private final Discovery.Listener listener;
    private boolean wholeNeeded;

    ListIntake(HostList known, Discovery.Listener listener) {
        guard = new ListGuard(known.rev(), !known.entries().isEmpty());
        this.listener = listener;
    }

    /** The version in force. */
    long version() {
        return guard.rev();
    }

    /** From which version on changes are to be asked for: from the beginning where some was taken out of service that no later change may name. */
    long askFrom() {
        return wholeNeeded ? 0 : guard.rev();
    }

    /** Throws IllegalArgumentException or IOException for what is no list at all. */
    static HostList.Reading read(byte[] text) throws IOException {
        return HostList.read(JSON.std.anyFrom(text));
    }

    /** Puts it in force. Returns what speaks against that, so that only its drains and removals are; null where it is in force whole. */
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

    /** Takes its drains and removals alone. */
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
