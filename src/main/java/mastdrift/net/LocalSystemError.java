package mastdrift.net;

import io.netty.channel.ChannelException;
import java.net.SocketException;
import java.util.List;

/** Tells failures of this machine's own from those of the other side: a system call that failed for want of descriptors, ports or buffers says nothing of the server that was to be
    connected to. That a network or host can't be reached (ENETUNREACH, EHOSTUNREACH), or doesn't answer (ETIMEDOUT), is said of the way there. */
final class LocalSystemError {

    // The library has no types for these, or wraps them: EADDRNOTAVAIL, ENOBUFS, ENOMEM, EMFILE, ENFILE.
    private static final List<String> OWN = List.of("Cannot assign requested address", "No buffer space available", "Cannot allocate memory", "Too many open files");

    private LocalSystemError() { }

    /** Whether a dial failed by this machine: no socket could be opened (EMFILE, ENFILE, ENOBUFS, ENOMEM), or no port was free (EADDRNOTAVAIL). */
    static boolean is(Throwable cause) {
        return cause instanceof ChannelException
                || cause instanceof SocketException && cause.getMessage() != null && OWN.stream().anyMatch(cause.getMessage()::contains);
    }
}
