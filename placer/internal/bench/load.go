package bench

import "time"

// Load describes a cell and what arrives at it.
type Load struct {
	Name      string
	Seed      uint64
	Length    time.Duration // of the arrivals and of the measurement
	Executors int
	Workers   int
	Accels    int // accelerators of all workers together
	Zones     int
	Teams     int

	Quick    float64 // quick requests a second
	QuickRun time.Duration
	Batch    float64 // batch tasks a second
	BatchRun time.Duration
	Urgent   float64 // urgent batch tasks a second
	Gangs    float64 // gangs of GangSize a second
	GangSize int
	Services float64 // part of the workers' processors that services take

	Greedy  float64       // part of all batch tasks that come from the first team
	Burst   float64       // by how much arrivals go up in a burst; 0 is none
	Every   time.Duration // between the starts of bursts, each a tenth as long
	Wrong   bool          // real sizes and run times are 0.3 to 5 times the declared
	Cancels int           // requests cancelled at once at half of Length
	Broken  int           // workers that fail everything at once
}

// Loads returns the loads that the decisions are measured under.
func Loads() []Load {
	today := Load{
		Name: "today", Seed: 1, Length: 3 * time.Minute,
		Executors: 50, Workers: 50, Zones: 4, Teams: 6,
		Quick: 550, QuickRun: 500 * time.Millisecond,
		Batch: 16, BatchRun: 20 * time.Second, Urgent: 1, Gangs: 0.02, GangSize: 16, Services: 0.1,
		Greedy: 0.5, Burst: 2, Every: 30 * time.Second, Wrong: true,
	}
	tenfold := today
	tenfold.Name, tenfold.Seed, tenfold.Length = "tenfold", 2, time.Minute
	tenfold.Executors, tenfold.Workers, tenfold.Accels = 500, 500, 400
	tenfold.Quick, tenfold.Batch, tenfold.Urgent, tenfold.Gangs, tenfold.GangSize = 5500, 160, 10, 0.1, 64
	tenfold.Cancels = 10000
	zone := Load{
		Name: "zone", Seed: 3, Length: time.Minute,
		Executors: 60, Workers: 770, Accels: 1333, Zones: 1, Teams: 47,
		Quick: 90, QuickRun: 4 * time.Second,
		Batch: 470, BatchRun: 10 * time.Second, Urgent: 10, Gangs: 0.1, GangSize: 64, Services: 0.2,
		Greedy: 0.3, Burst: 2, Every: 30 * time.Second, Wrong: true, Cancels: 10000, Broken: 4,
	}
	return []Load{today, tenfold, zone}
}
