package mastdrift.lab.flood;

import java.util.Locale;

/** What a client sends without a pause on one connection. */
public enum FloodKind {
    /** Readiness checks. */
    READY {
        @Override
        String request(String sender, long number) {
            return "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
        }
    },
    /** Requests with no field but Host. */
    NO_ID {
        @Override
        String request(String sender, long number) {
            return "GET /api HTTP/1.1\r\nHost: s\r\n\r\n";
        }
    },
    /** Each request names a class that the gateway doesn't know, another one each time. */
    NEW_CLASSES {
        @Override
        String request(String sender, long number) {
            return head("GET", sender, number, "class-" + number, "tenant");
        }
    },
    /** Well-formed requests, each with an object of its own, and with a tenant that the gateway doesn't know every other time. */
    NEW_NAMES {
        @Override
        String request(String sender, long number) {
            return head("GET", sender, number, "safe", number % 2 == 0 ? "tenant" : "tenant-" + number);
        }
    },
    /** Well-formed requests that may not be repeated. */
    UNSAFE {
        @Override
        String request(String sender, long number) {
            return head("POST", sender, number, "unsafe", "tenant").replace("\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n");
        }
    },
    /** Heads of as many short fields as fit into 8,000 bytes. */
    MANY_FIELDS {
        @Override
        String request(String sender, long number) {
            return head("GET", sender, number, "safe", "tenant").replace("\r\n\r\n", "\r\n" + SHORT_FIELDS + "\r\n");
        }
    },
    /** Lines that are no request. */
    GARBAGE {
        @Override
        String request(String sender, long number) {
            return "no request " + number + "\r\n\r\n";
        }
    },
    /** Bodies in chunks of one byte. */
    TINY_CHUNKS {
        @Override
        String request(String sender, long number) {
            return head("POST", sender, number, "unsafe", "tenant").replace("\r\n\r\n",
                    "\r\nTransfer-Encoding: chunked\r\n\r\n" + "1\r\nx\r\n".repeat(1_000) + "0\r\n\r\n");
        }
    };

    /** Fields of six bytes each with the line end. */
    static final String SHORT_FIELDS = "a:b\r\n".repeat(1_500);

    /** The bytes of a request, the {@code number}th of its sender. */
    abstract String request(String sender, long number);

    private static String head(String method, String sender, long number, String className, String tenant) {
        return method + " /api HTTP/1.1\r\nHost: s\r\nX-Trace-Id: " + sender + "-" + number + "\r\nX-Qos: " + className
                + "\r\nX-Customer: " + tenant + "\r\nX-Object: " + sender + number + "\r\nX-Expires-In-Ms: 400\r\n\r\n";
    }

    /** Its name in a log or a table. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
