package mastdrift.config;

import java.util.List;
import mastdrift.settings.AddressRange;

/**
 * Settings of a RADIUS listener, fixed when the gateway starts.
 *
 * @param name what operators call it
 * @param listen address and port in digits, UDP
 * @param accessClass the class of an Access-Request, which is safe to repeat
 * @param conversationClass the class of an Access-Request with State or EAP-Message, whose conversation is bound to one
 * server
 * @param accountingClass the class of accounting requests
 * @param clients who may send, by address range
 * @param replyRetentionMicros microseconds for which a reply is kept to answer retransmissions
 * @param maxRetainedReplies replies that are kept at the same time; at most a quarter of them for one client address
 */
public record RadiusSettings(String name, String listen, String accessClass, String conversationClass,
        String accountingClass, List<Client> clients, long replyRetentionMicros, int maxRetainedReplies) {

    /**
     * The RADIUS clients (charging stations) in one address range.
     *
     * @param name for metrics and logs
     * @param range their addresses
     * @param secret location of their shared secret
     * @param tenant their tenant, or null
     * @param messageAuthenticatorRequired whether Access-Requests must have a Message-Authenticator
     */
    public record Client(String name, AddressRange range, SecretRef secret, String tenant,
            boolean messageAuthenticatorRequired) { }
}
