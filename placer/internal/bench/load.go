package bench

import "time"

// Load describes a cluster and the requests that arrive at it.
type Load struct {
	Name      string
	Seed      uint64
	Length    time.Duration // of the arrivals and the measurement
	Executors int
	Workers   int
	Accels    int // accelerators of all workers together
	Zones     int
	Teams     int

	Quick    float64 // quick requests per second
	QuickRun time.Duration
	Batch    float64 // batch tasks per second
	BatchRun time.Duration
	Urgent   float64 // urgent batch tasks per second
	Gangs    float64 // gangs of GangSize tasks per second
	GangSize int
	Services float64 // fraction of the workers' processors that services need

	Greedy  float64       // fraction of batch requests from the first team, besides its part of the rest
	Burst   float64       // factor of the arrival rate in a burst; 0 means no bursts
	Every   time.Duration // between the starts of bursts; each burst takes a tenth of it
	Wrong   bool          // actual sizes and run times are 0.3 to 5 times the declared ones
	Cancels int           // number of requests that are cancelled together at half of Length
	Broken  int           // number of workers on which every task fails quickly
}

// Loads returns the loads of TestBench.
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
