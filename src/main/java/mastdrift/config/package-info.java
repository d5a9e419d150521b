/** The operator's file and the node lists that it includes: read, checked in full, with a place for every complaint. Pure:
    texts go in, a configuration or complaints come out. */
package mastdrift.config;
