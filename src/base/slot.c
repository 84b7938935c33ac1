#include "slot.h"
#include <stdlib.h>

#define NO_FREE UINT32_MAX

static int grow(struct slot_table *t)
{
	uint32_t i, cap = t->cap ? t->cap * 2 : 64;
	struct slot_entry *e = realloc(t->entry, cap * sizeof *e);

	if (!e) return -1;
	for (i = t->cap; i < cap; i++)
		e[i] = (struct slot_entry){.next_free = i + 1 < cap ? i + 1 : NO_FREE};
	t->free_head = t->cap;
	t->entry = e;
	t->cap = cap;
	return 0;
}

uint64_t slot_add(struct slot_table *t, void *item)
{
	struct slot_entry *e;
	uint32_t i;

	if ((!t->cap || t->free_head == NO_FREE) && grow(t)) return 0;
	i = t->free_head;
	e = &t->entry[i];
	t->free_head = e->next_free;
	e->item = item;
	e->generation++;
	t->count++;
	return (uint64_t)e->generation << 32 | i;
}

static struct slot_entry *find(const struct slot_table *t, uint64_t handle)
{
	uint32_t i = (uint32_t)handle;

	if (i >= t->cap) return NULL;
	if (t->entry[i].generation != handle >> 32 || !t->entry[i].item) return NULL;
	return &t->entry[i];
}

void *slot_get(const struct slot_table *t, uint64_t handle)
{
	struct slot_entry *e = find(t, handle);

	return e ? e->item : NULL;
}

void *slot_remove(struct slot_table *t, uint64_t handle)
{
	struct slot_entry *e = find(t, handle);
	void *item;

	if (!e) return NULL;
	item = e->item;
	e->item = NULL;
	e->next_free = t->free_head;
	t->free_head = (uint32_t)handle;
	t->count--;
	return item;
}

void slot_free(struct slot_table *t)
{
	free(t->entry);
	*t = (struct slot_table){0};
}
