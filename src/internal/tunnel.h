/*
 * Tunnels (tn): connections to backend servers that another instance, the helper, opens on
 * request and passes bytes through. The helper decides nothing about requests. It always
 * connects to the server itself, so that no tunnel leads through two helpers.
 *
 * On a new connection to the helper's port for instances the requester sends one MESH_TUNNEL
 * frame that names the server. The helper answers in blocks, each with a header of four bytes:
 * a status (the highest bit set; a positive errno, 0 for none) or the length of the data that
 * follow. The first status reports the connection to the server, the second one its end. What
 * the requester sends after the first status is passed on unchanged.
 */
#ifndef SH_TUNNEL_H
#define SH_TUNNEL_H
#include "be.h"
#include "cn.h"

#define TN_STATUS 0x80000000u /* in a block's header */

/* Whose failure ended a tunnel. */
enum tn_fault {
	TN_NONE,
	TN_SERVER, /* the helper reports it of the server */
	TN_HELPER, /* the helper was not reached, refused, or was lost */
};

struct tn;
/* Makes c, which is not connected yet, a tunnel to b: its callbacks, set before, are called as
 * if it were a connection to b. The caller then connects c to the helper's address. */
struct tn *tn_new(struct cn *c, const struct be *b);
/* To be called once c is closed. */
void tn_free(struct tn *t);
/* Valid from the time on_end is called. */
enum tn_fault tn_fault(const struct tn *t);
#endif
