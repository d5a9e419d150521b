/**
 * The part shared by all protocols: the request tracker, which gives each request one final answer, and pools, each
 * with a host list, one decision module and one transport. Independent of any protocol; runs on one event loop, without
 * locks.
 */
package mastdrift.engine;
