package mastdrift.net;

import io.netty.channel.ChannelException;
import java.net.SocketException;
import java.util.List;

/**
 * Tells failures of this machine from those of the other side. A system call that failed for want of descriptors, ports
 * or buffers says nothing about the server to be connected to. A network or host that can't be reached (ENETUNREACH,
 * EHOSTUNREACH) or doesn't answer (ETIMEDOUT) is a failure of the path to it.
 */
final class LocalSystemError {

    // Netty has no exception types for these, or wraps them: EADDRNOTAVAIL, ENOBUFS, ENOMEM, EMFILE, ENFILE.
    private static final List<String> LOCAL_ERROR_MESSAGES = List.of("Cannot assign requested address",
            "No buffer space available", "Cannot allocate memory", "Too many open files");

    private LocalSystemError() { }

    /**
     * Whether a dial failed because of this machine: no socket could be opened (EMFILE, ENFILE, ENOBUFS, ENOMEM), or no
     * port was free (EADDRNOTAVAIL).
     */
    static boolean isCauseOf(Throwable cause) {
        return cause instanceof ChannelException
                || cause instanceof SocketException && cause.getMessage() != null
                        && LOCAL_ERROR_MESSAGES.stream().anyMatch(cause.getMessage()::contains);
    }
}
