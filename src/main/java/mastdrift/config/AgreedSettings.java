package mastdrift.config;

import java.util.List;

/**
 * The log that the gateways of an installation agree on.
 *
 * @param begin the operator's word for it: another word begins another log
 * @param voters gateways that vote at its begin, an odd number
 * @param folder where a voter keeps it
 * @param replaceAfter microseconds for which a voter is away until another gateway takes its place
 * @param rollEvery microseconds from one word of this gateway in the log to the next, which shows that it works
 */
public record AgreedSettings(String begin, List<String> voters, String folder, long replaceAfter, long rollEvery) { }
