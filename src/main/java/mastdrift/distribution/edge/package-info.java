/** How {@link mastdrift.distribution} reaches other processes and the disk: messages as bytes, the links that carry them, the copy of the table in a folder. Decides nothing. */
package mastdrift.distribution.edge;
