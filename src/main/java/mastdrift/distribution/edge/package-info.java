/**
 * Network and disk input and output of {@link mastdrift.distribution}: message codecs, the transport that carries
 * messages, and the on-disk copy of the table. Makes no protocol decisions.
 */
package mastdrift.distribution.edge;
