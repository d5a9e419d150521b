package mastdrift.config;

import java.util.List;

/**
 * Settings of the replicated log that the gateways of an installation agree on ({@code [agreed]}).
 *
 * @param logId the operator's identifier of the log; changing it starts a new log
 * @param voters gateways that vote when the log is created, an odd number
 * @param folder where a voter stores the log
 * @param replaceAfterMicros how long a voter may be unreachable before another gateway replaces it
 * @param livenessIntervalMicros interval at which this gateway appends an entry to the log to show that it is alive
 */
public record AgreedSettings(String logId, List<String> voters, String folder, long replaceAfterMicros,
        long livenessIntervalMicros) { }
