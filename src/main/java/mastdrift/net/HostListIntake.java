package mastdrift.net;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.util.List;
import mastdrift.engine.Member;
import mastdrift.membership.HostListValidator;

/**
 * Validates the lists that discovery sends. Valid lists are passed on to be applied; of rejected ones only the certain
 * part is: which hosts are draining or removed. Tracks the current version, and whether the next watch has to ask for
 * the full list.
 */
final class HostListIntake {

    private final HostListValidator validator;
    private final Discovery.Listener listener;
    private boolean fullListNeeded;

    HostListIntake(HostList known, Discovery.Listener listener) {
        validator = new HostListValidator(known.version(), !known.entries().isEmpty());
        this.listener = listener;
    }

    /** The current version. */
    long currentVersion() {
        return validator.version();
    }

    /**
     * The version from which changes are to be requested: 0, which asks for the full list, if a host was taken out of
     * service that no later change may name.
     */
    long watchFromVersion() {
        return fullListNeeded ? 0 : validator.version();
    }

    /** Throws IllegalArgumentException or IOException for input that is no list at all. */
    static HostList.ParseResult parse(byte[] text) throws IOException {
        return HostList.parseLeniently(JSON.std.anyFrom(text));
    }

    /**
     * Applies a list. Returns null if it was accepted in full; otherwise the reason for which only its drains and
     * removals were applied.
     */
    String apply(HostList.ParseResult parsed) {
        HostList list = parsed.list();
        String fault = parsed.fault();
        if (fault == null) {
            String implausibility = validator.check(list.version(), list.full(), list.entries().stream()
                    .map(Member::host).toList()).fault();
            fault = implausibility == null ? null : "list " + list.version() + ", " + implausibility;
        }
        if (fault == null) {
            fullListNeeded &= !list.full();
            listener.listAccepted(list);
        } else {
            withdraw(parsed);
        }
        return fault;
    }

    /** Applies only the drains and removals of a list. */
    void withdraw(HostList.ParseResult parsed) {
        HostList list = parsed.list();
        boolean complete = list.full() && parsed.namedUids() != null;
        List<Member> leaving = parsed.leaving();
        if (complete || !leaving.isEmpty()) {
            boolean anyWithdrawn = listener.hostsWithdrawn(new Discovery.Withdrawal(list.version(), complete
                    ? parsed.namedUids() : null, leaving));
            fullListNeeded |= anyWithdrawn && (complete || list.version() <= validator.version());
        }
    }
}
