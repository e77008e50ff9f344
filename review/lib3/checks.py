"""Checks of rules from what clients sent and workers saw."""

STEP_S = 0.05


class Usage:
    """What runs on the workers, replayed from the record of a cell at steps of STEP_S."""

    def __init__(self, cell, needs):
        """`needs` holds (cpu, mem_mb) of each task by job."""
        self.cell, self.needs = cell, needs
        self.job_spans = {}     # job -> [(from, to)]
        spans, begun = [], {}
        for at, what, f in cell.events:
            if what == "start":
                begun[f["worker"], f["task"]] = at
            elif what == "end" and (f["worker"], f["task"]) in begun:
                spans.append((f["worker"], f["task"], begun.pop((f["worker"], f["task"])), at))
        spans += [(w, t, at, 1e9) for (w, t), at in begun.items()]
        self.changes = []
        for worker, task, begin, end in spans:
            job = task.split(".")[0]
            self.job_spans.setdefault(job, []).append((begin, end))
            self.changes += [(begin, worker, 1, job), (end, worker, -1, job)]
        self.changes.sort(key=lambda c: c[0])
        self.grid = self.replay()

    def replay(self):
        """Returns what is in use by worker at each step, as (cpu, mem_mb)."""
        used = {worker.id: [0, 0] for worker in self.cell.workers}
        end = self.cell.events[-1][0] if self.cell.events else 0
        grid, position = [], 0
        for number in range(int(end / STEP_S) + 2):
            while position < len(self.changes) and self.changes[position][0] <= number * STEP_S:
                _, worker, sign, job = self.changes[position]
                cpu, mem = self.needs[job]
                if worker in used:
                    used[worker][0] += sign * cpu
                    used[worker][1] += sign * mem
                position += 1
            grid.append({worker: tuple(amounts) for worker, amounts in used.items()})
        return grid

    def has_room(self, job, workers, number):
        """Whether one of the given workers has capacity for a task of the job twice over, and less than
        half of the capacity of the service is in use."""
        cpu, mem = self.needs[job]
        used = self.grid[min(number, len(self.grid) - 1)]
        room, all_cpu, all_mem, used_cpu, used_mem = False, 0, 0, 0, 0
        for worker in self.cell.workers:
            c, m = used[worker.id]
            all_cpu, all_mem = all_cpu + worker.capacity["cpu"], all_mem + worker.capacity["mem_mb"]
            used_cpu, used_mem = used_cpu + c, used_mem + m
            if worker in workers and worker.up:
                room |= worker.capacity["cpu"] - c >= 2 * cpu and worker.capacity["mem_mb"] - m >= 2 * mem
        return room and 2 * used_cpu < all_cpu and 2 * used_mem < all_mem

    def longest_idle(self, job, workers, begin, end):
        """The longest time in seconds for which the job has nothing running with room for it."""
        spans = self.job_spans.get(job, [])
        longest = current = 0
        for number in range(int(begin / STEP_S) + 1, int(end / STEP_S)):
            at = number * STEP_S
            is_idle = not any(b <= at < e for b, e in spans) and self.has_room(job, workers, number)
            current = current + 1 if is_idle else 0
            longest = max(longest, current)
        return round(longest * STEP_S, 2)
