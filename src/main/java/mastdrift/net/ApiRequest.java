package mastdrift.net;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Map;
import java.util.Set;
import mastdrift.Balancer.Repeat;
import mastdrift.Balancer.RequestClass;

/**
 * A request to the API that can be forwarded: what its head says.
 *
 * @param requestClass its class
 * @param traceId its id
 * @param tenant name of its tenant, or null
 * @param affinityKey hash of the object that it is about, or null
 * @param effectKey hash of the key by which hosts drop repeats, or null
 * @param expiresMillis how long its client waits
 * @param workMicros the work that its client expects; 0 for unknown
 * @param isRepeat whether its client marked it as a repeat
 */
record ApiRequest(RequestClass requestClass, String traceId, String tenant, Long affinityKey, Long effectKey, long expiresMillis,
        long workMicros, boolean isRepeat) {

    /** What {@link Reader#read} makes of a message: a request, or the status of the response that rejects it. */
    record Result(ApiRequest request, HttpResponseStatus rejection, boolean closesConnection) { }

    /** Validates requests by the classes and tenants of the configuration. */
    static final class Reader {

        private final Map<String, RequestClass> classes;
        private final Set<String> tenants;

        /** Knows the given classes by name; any tenant is accepted if {@code tenants} is empty. */
        Reader(Map<String, RequestClass> classes, Set<String> tenants) {
            this.classes = classes;
            this.tenants = tenants;
        }

        /** Validates a message. */
        Result read(FullHttpRequest message) {
            RequestHead head = new RequestHead(message.headers());
            RequestClass requestClass = head.className() == null ? null : classes.get(head.className());
            boolean isGet = message.method().equals(HttpMethod.GET);
            boolean valid = requestClass != null && isValid(message, head, requestClass);
            if (isGet && message.content().isReadable()) {
                // hosts that ignore the body would read it as another request
                return new Result(null, HttpResponseStatus.BAD_REQUEST, true);
            }
            if (!isGet && !message.method().equals(HttpMethod.POST) || valid && isGet != (requestClass.repeat() == Repeat.SAFE)) {
                return new Result(null, HttpResponseStatus.METHOD_NOT_ALLOWED, false);
            }
            if (!valid) {
                return new Result(null, HttpResponseStatus.BAD_REQUEST, false);
            }
            Long effectKey = requestClass.repeat() == Repeat.KEYED ? hash(head.idempotencyKey()) : null;
            return new Result(new ApiRequest(requestClass, head.traceId(), head.tenant(), hash(head.objectName()), effectKey,
                    head.expiresMillis(), Math.max(0, head.workMicros()), head.isRepeat()), null, false);
        }

        private boolean isValid(FullHttpRequest message, RequestHead head, RequestClass requestClass) {
            boolean keyIsValid = head.idempotencyKey() == null ? requestClass.repeat() != Repeat.KEYED
                    : isForwardedUnchanged(head.idempotencyKey());
            return keyIsValid && head.expiresMillis() > 0 && (tenants.isEmpty() || tenants.contains(head.tenant()))
                    && isForwardedUnchanged(head.traceId()) && isForwardedUnchanged(message.uri()) && !head.hasDuplicates();
        }

        /** Whether the text is forwarded unchanged: anything but visible ASCII would be altered on the way. */
        private static boolean isForwardedUnchanged(String text) {
            for (int i = 0; text != null && i < text.length(); i++) {
                if (text.charAt(i) <= ' ' || text.charAt(i) > '~') {
                    return false;
                }
            }
            return text != null && !text.isEmpty();
        }

        /** Hash of a name of any form (FNV-1a); the same at every gateway. */
        private static Long hash(String name) {
            if (name == null) {
                return null;
            }
            long hash = 0xCBF29CE484222325L;
            for (int i = 0; i < name.length(); i++) {
                hash = (hash ^ name.charAt(i)) * 0x100000001B3L;
            }
            return hash;
        }
    }

    /** The key by which its repeats are kept at one pool. */
    Long routingKey() {
        return requestClass.repeat() == Repeat.KEYED ? effectKey : affinityKey;
    }
}
