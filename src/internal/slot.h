/* A table of pointers addressed by handles. A handle is an index in its low half and the slot's
 * generation in its high half, so a handle to a removed item does not match the next one. */
#ifndef SH_SLOT_H
#define SH_SLOT_H
#include <stdint.h>

struct slot_entry {
	void *item;
	uint32_t generation;
	uint32_t next_free;
};

struct slot_table {
	struct slot_entry *entry;
	uint32_t cap, count, free_head;
};

/* Returns a handle, or 0 if out of memory. */
uint64_t slot_add(struct slot_table *t, void *item);
/* Returns the item, or NULL if the handle is stale. */
void *slot_get(const struct slot_table *t, uint64_t handle);
/* Removes the item and returns it, or returns NULL if the handle is stale. */
void *slot_remove(struct slot_table *t, uint64_t handle);
void slot_free(struct slot_table *t);
#endif
